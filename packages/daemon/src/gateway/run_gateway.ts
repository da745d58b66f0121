import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import type {Result} from 'true-myth';
import {EventLog} from '../host/event_log.js';
import type {GatewayHost} from './gateway_host.js';

const EXIT_FAILED = 1;
const EXIT_WRONG_SETTINGS = 2;

/**
 * Runs a gateway until SIGTERM. SIGHUP reloads its settings.
 *
 * @param read Reads the settings, or returns a one-line error.
 * @param build Creates the host from the initial settings.
 */
export function runGateway<Settings extends {settings: GatewaySettings}>(
  read: () => Result<Settings, string>,
  build: (first: Settings, log: EventLog) => GatewayHost,
): void {
  const first = read();
  if (first.isErr) {
    exitWith(EXIT_WRONG_SETTINGS, first.error);
    return;
  }
  const {settings} = first.value;
  const log = new EventLog(
    {host: settings.host, id: ''},
    settings.logLevel ?? 'info',
  );
  const host = build(first.value, log);
  process.on('SIGTERM', () => {
    void host.stop().then(() => process.exit(0));
  });
  process.on('SIGHUP', () => {
    const changed = read();
    if (changed.isOk) host.reload(changed.value.settings);
    else log.error('settings_refused', {reason: changed.error});
  });
  process.on('uncaughtException', error => {
    log.error('uncaught_exception', {reason: error.stack ?? error.message});
  });
  host.start().catch((error: unknown) => {
    exitWith(EXIT_FAILED, `cannot start the gateway: ${String(error)}`);
  });
}

function exitWith(code: number, line: string): void {
  process.stderr.write(`parsleywood: ${line}\n`);
  process.exit(code);
}
