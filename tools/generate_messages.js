/**
 * Generates the TypeScript code of the gRPC messages from `briarpin.proto`.
 */
import {execFileSync} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const messagesFolder = fileURLToPath(
  new URL('../packages/messages', import.meta.url),
);

execFileSync('npx', ['buf', 'generate'], {
  cwd: messagesFolder,
  stdio: 'inherit',
});
