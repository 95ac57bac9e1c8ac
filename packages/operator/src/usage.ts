/**
 * Usage texts of the command.
 */

/** Usage of all commands. */
export const USAGE = `Usage: briarpin COMMAND [--settings FILE] [--json]

  check FILE                       check a settings file of any role
  check --configuration FILE [--against FILE]
                                   check a routing configuration, and compare
                                   it with the version in force
  defaults show                    show the fleet-wide default
  defaults set KEY VALUE           change it; VALUE is JSON or plain text
  exceptions list                  show the exceptions with their reasons
  exceptions add NAME MATCH SET --reason TEXT
                                   add or replace one; MATCH and SET are JSON
  exceptions remove NAME           remove one
  organisations list|set|remove    organisations and the SHA-256 of their keys
  services list|set|remove         services, their kind and their models
  status                           status that every instance reports
  histograms                       histograms of every instance
  drain INSTANCE                   graceful shutdown of one instance
  explain REQUEST_ID [FILE]        outcome of a request, from the logs of all
                                   gateways; standard input when absent

  --settings FILE   settings of this command; BRIARPIN_SETTINGS when absent
  --base OFFSET     make the change only if the value in force has this offset
  --json            print JSON
  --help            this text, or that of one command

Exit 0: done. 1: refused or not known to be done. 2: wrong use.
`;

const formatEntriesUsage = (name: string, set: string): string =>
  `Usage: briarpin ${name} list|${set}|remove NAME [--base OFFSET] [--json]\n`;

/** Usage of each command that needs the platform, by command name. */
export const COMMAND_USAGE: Readonly<Record<string, string>> = {
  defaults: 'Usage: briarpin defaults show|set KEY VALUE [--base OFFSET]\n',
  exceptions: formatEntriesUsage(
    'exceptions',
    'add NAME MATCH SET --reason TEXT',
  ),
  organisations: formatEntriesUsage('organisations', 'set NAME VALUE'),
  services: formatEntriesUsage('services', 'set NAME VALUE'),
  status: 'Usage: briarpin status [--json]\n',
  histograms: 'Usage: briarpin histograms [--json]\n',
  drain: 'Usage: briarpin drain INSTANCE\n',
};

/** Usage of `check`, which reads files and needs no platform. */
export const CHECK_USAGE =
  'Usage: briarpin check FILE\n' +
  '       briarpin check --configuration FILE [--against FILE] [--json]\n';

/** Usage of `explain`, which reads logs and needs no platform. */
export const EXPLAIN_USAGE =
  'Usage: briarpin explain REQUEST_ID [FILE] [--json]\n';
