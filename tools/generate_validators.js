/**
 * Generates types and compiled validators from every JSON Schema of the
 * workspace: `schemas/<name>.json` becomes `src/generated/<name>.ts`, which
 * exports its types and its validator.
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

/** Generates one module for each schema of a package. */
async function generatePackage(folder) {
  const output = join(folder, 'src', 'generated');
  mkdirSync(output, {recursive: true});
  for (const file of readdirSync(join(folder, 'schemas')).sort()) {
    await generateSchema(join(folder, 'schemas', file), output);
  }
}

/** Writes the interface and the validator of one schema. */
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
    throw new Error(`${path}: a keyword needs a run-time import; avoid it.`);
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
