/**
 * Generates types and compiled validators from all JSON Schemas of the
 * workspace: `src/generated/<name>.ts` exports the types and the validator of
 * `schemas/<name>.json`.
 */
import {mkdirSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {basename, join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {Ajv} from 'ajv';
import standalone from 'ajv/dist/standalone/index.js';
import {compile} from 'json-schema-to-typescript';

const FOLDERS_WITH_SCHEMAS = [
  'packages/messages',
  'packages/settings',
  'platform',
];
const HEADING = '// Generated from a JSON Schema. Do not edit.\n';

const rootFolder = fileURLToPath(new URL('..', import.meta.url));
for (const folder of FOLDERS_WITH_SCHEMAS) {
  await generatePackage(join(rootFolder, folder));
}

/** Generates the modules for all schemas of a package. */
async function generatePackage(folder) {
  const output = join(folder, 'src', 'generated');
  mkdirSync(output, {recursive: true});
  for (const file of readdirSync(join(folder, 'schemas')).sort()) {
    await generateSchema(join(folder, 'schemas', file), output);
  }
}

/**
 * Generates the types and the validator of one schema.
 *
 * @throws If the compiled validator needs an import at run time
 */
async function generateSchema(path, output) {
  const schema = JSON.parse(readFileSync(path, 'utf8'));
  const name = basename(path, '.json');
  const types = await compile(schema, schema.title, {
    bannerComment: '',
    additionalProperties: false,
  });
  const ajv = new Ajv({
    allErrors: true,
    verbose: true,
    code: {source: true, esm: true, lines: true},
  });
  ajv.addKeyword('tsType');
  const code = standalone.default(ajv, ajv.compile(schema));
  if (/\brequire\(/.test(code)) {
    throw new Error(
      `${path}: a keyword of the schema needs a run-time import; replace the keyword`,
    );
  }
  const validatorPath = join(output, `${name}_validator.ts`);
  writeFileSync(validatorPath, `// @ts-nocheck\n${HEADING}${code}`);
  const wrapper =
    `\nimport {validate} from './${name}_validator.js';\n` +
    "import type {SchemaValidator} from '../schema_validator.js';\n\n" +
    `/** Checks that a value is a ${schema.title}. */\n` +
    `export const validate${schema.title} =\n` +
    `  validate as unknown as SchemaValidator<${schema.title}>;\n`;
  writeFileSync(join(output, `${name}.ts`), HEADING + types + wrapper);
}
