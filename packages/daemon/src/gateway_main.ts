#!/usr/bin/env node
/** parsleywood-gateway: runs one host of a site that is published in a file. */
import {
  formatProblem,
  readSettingsFile,
  SchemaValidator,
} from '@parsleywood/config';
import {
  GATEWAY_SETTINGS_SCHEMA,
  type GatewaySettings,
} from '@parsleywood/schema/gateway_settings';
import {Result} from 'true-myth';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {DEFAULT_DIALECT} from './gateway/default_dialect.js';
import {EngineReservationClient} from './gateway/upstreams/engine_reservation_client.js';
import {GatewayHost} from './gateway/gateway_host.js';
import {runGateway} from './gateway/run_gateway.js';
import {SiteFile} from './gateway/site/site_file.js';

const EXIT_WRONG_SETTINGS = 2;

const flags = await yargs(hideBin(process.argv))
  .scriptName('parsleywood-gateway')
  .usage('$0 --settings FILE --site FILE')
  .options({
    settings: {
      type: 'string',
      demandOption: true,
      describe: 'File of gateway settings (JSON); reloaded on SIGHUP',
    },
    site: {
      type: 'string',
      demandOption: true,
      describe: 'File of the published site (JSON); reloaded when it changes',
    },
  })
  .example('$0 --settings host.json --site site.json', 'Starts a gateway')
  .strict()
  .fail(message => {
    process.stderr.write(`parsleywood-gateway: ${message}\n`);
    process.exit(EXIT_WRONG_SETTINGS);
  })
  .parse();

const schemaCheck = new SchemaValidator<GatewaySettings>(
  GATEWAY_SETTINGS_SCHEMA,
);

runGateway(
  readSettings,
  ({settings}, log) =>
    new GatewayHost(
      settings,
      new SiteFile(flags.site),
      new EngineReservationClient(settings.host, log),
      DEFAULT_DIALECT,
    ),
);

function readSettings(): Result<{settings: GatewaySettings}, string> {
  const path = flags.settings;
  return readSettingsFile(path)
    .mapErr(({message}) => message)
    .andThen(content =>
      schemaCheck.validate(content).mapErr(([first]) => {
        return first ? `${path}: ${formatProblem(first)}` : path;
      }),
    )
    .map(settings => ({settings}));
}
