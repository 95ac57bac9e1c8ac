/**
 * Tests `briarpin check --configuration` as a process.
 *
 * Guards against an exit status that lets a faulty configuration pass, and
 * against output that scripts cannot read.
 */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

/** The file that npm links. */
const COMMAND = fileURLToPath(
  new URL('../../bin/briarpin.js', import.meta.url),
);

const ROUTE = {
  Name: 'stock',
  Hostname: 'shop.example',
  PathPrefix: '/stock/',
  Type: 'idempotent',
  TimeoutMs: 800,
  Service: 'desk',
};

const RECORD = {
  Version: 7,
  Routes: [ROUTE],
  Services: [{Name: 'desk'}],
  Limits: {
    MaxHeaderBytes: 1,
    MaxBodyBytes: 2,
    HeaderTimeoutMs: 3,
    IdleTimeoutMs: 4,
  },
};

describe('briarpin check --configuration', () => {
  let folder: string;

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'briarpin-configuration-'));
  });

  after(() => rmSync(folder, {recursive: true}));

  const write = (name: string, content: unknown): string => {
    const file = join(folder, name);
    writeFileSync(
      file,
      typeof content === 'string' ? content : JSON.stringify(content),
    );
    return file;
  };

  const run = (operands: readonly string[], settingsFile?: string) => {
    const {status, stdout, stderr} = spawnSync(
      process.execPath,
      [COMMAND, 'check', ...operands],
      {env: {...process.env, BRIARPIN_NODE_FILE: settingsFile}},
    );
    return {status, stdout: stdout.toString(), stderr: stderr.toString()};
  };

  it('exits with 0 for a sound configuration', () => {
    const {status, stdout} = run(['--configuration', write('ok', RECORD)]);
    assert.equal(status, 0);
    assert.match(stdout, /no faults found/);
  });

  it('exits with 1 and names each error', () => {
    const Routes = [{...ROUTE, Service: 'dusk', MaxAttempts: 0}];
    const file = write('errors', {...RECORD, Routes});
    const {status, stderr} = run(['--configuration', file]);
    assert.equal(status, 1);
    assert.match(stderr, /Routes\.stock: MaxAttempts 0 is below 1/);
    assert.match(stderr, /Routes\.stock: the service dusk does not exist/);
  });

  for (const [description, content, message] of [
    ['is no JSON', '{', /found no JSON/],
    ['the schema rejects', {...RECORD, Routes: 3}, /Routes: found 3/],
  ] as const) {
    it(`exits with 1 for a file that ${description}`, () => {
      const {status, stderr} = run(['--configuration', write('bad', content)]);
      assert.equal(status, 1);
      assert.match(stderr, message);
    });
  }

  it('exits with 1 for a file that cannot be read', () => {
    const {status, stderr} = run(['--configuration', join(folder, 'none')]);
    assert.equal(status, 1);
    assert.match(stderr, /ENOENT/);
  });

  it('prints the differences from the version in force, and exits with 0', () => {
    const inForce = write('in_force', RECORD);
    const Routes = [{...ROUTE, TimeoutMs: 900}];
    const file = write('next', {...RECORD, Version: 8, Routes});
    const operands = ['--configuration', file, '--against', inForce];
    const {status, stdout} = run(operands);
    assert.equal(status, 0);
    assert.match(stdout, /^changed Routes\.stock\.TimeoutMs: 800 -> 900$/m);
    const report: unknown = JSON.parse(run([...operands, '--json']).stdout);
    assert.deepEqual(report, {
      errors: [],
      differences: [
        {
          kind: 'changed',
          path: 'Routes.stock.TimeoutMs',
          before: '800',
          after: '900',
        },
      ],
    });
  });

  it('exits with 1 for a version that does not replace the one in force', () => {
    const file = write('same', RECORD);
    const operands = ['--configuration', file, '--against', file, '--json'];
    const {status, stdout} = run(operands);
    assert.equal(status, 1);
    assert.match(stdout, /"7 does not replace 7, which is in force"/);
  });

  it('knows the regions from the settings of an instance', () => {
    const settings = write(
      'node.conf',
      [
        'Node=front-1',
        'Ip=127.0.0.1',
        'Zone=east-1',
        'Region=east',
        'Zones.east-1=east',
        'Listen.Front=127.0.0.1:1',
        'Listen.Ready=127.0.0.1:2',
        'InternalPorts=3,3',
        'HeartbeatMs=1200',
        'Platform.Address=127.0.0.1:4',
      ].join('\n'),
    );
    const Routes = [{...ROUTE, AllowedRegions: ['aest']}];
    const file = write('regions', {...RECORD, Routes});
    assert.equal(run(['--configuration', file]).status, 0);
    const {status, stderr} = run(['--configuration', file], settings);
    assert.equal(status, 1);
    assert.match(stderr, /allowed region aest has no availability zone/);
  });

  it('exits with 2 for wrong usage', () => {
    const file = write('usage', RECORD);
    for (const operands of [
      ['--configuration'],
      ['--configuration', file, file],
      ['--against', file],
      [file, '--against', file],
    ]) {
      assert.equal(run(operands).status, 2, operands.join(' '));
    }
  });

  it('prints its usage for --help', () => {
    const {status, stdout} = run(['--help']);
    assert.equal(status, 0);
    assert.match(stdout, /check --configuration FILE/);
  });
});
