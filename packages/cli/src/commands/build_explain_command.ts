import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import type {CommandOptions} from '../command_options.js';
import {formatExplanation} from '../format_explanation.js';

const COUNTS = [
  'prompt-tokens',
  'max-answer-tokens',
  'answer-tokens',
  'time-limit',
] as const;

interface ExplainOptions extends CommandOptions {
  name: string;
  path: string;
  key?: string;
  service?: string;
  promptTokens?: string;
  maxAnswerTokens?: string;
  answerTokens?: string;
  parts?: string;
  timeLimit?: string;
}

/** Builds `explain`, which says where a host would send a request now, and why. */
export function buildExplainCommand(
  context: CommandContext,
): CommandModule<CommandOptions, ExplainOptions> {
  const text = {type: 'string', requiresArg: true} as const;
  return {
    command: 'explain',
    describe: 'Show where a gateway would send a request now, and why',
    builder: yargs =>
      yargs
        .option('host', {
          ...text,
          describe:
            "A gateway's metrics or readiness address, IP:PORT [PARSLEYWOOD_HOST]",
        })
        .option('name', {
          ...text,
          demandOption: true,
          describe: 'Host name of the request',
        })
        .option('path', {
          ...text,
          demandOption: true,
          describe: 'Path of the request, may have a query',
        })
        .option('key', {...text, describe: 'Key of the client account'})
        .option('service', {
          ...text,
          describe: 'Service, if the route has several; else the heaviest',
        })
        .option('prompt-tokens', {...text, describe: 'Tokens of the prompt'})
        .option('max-answer-tokens', {
          ...text,
          describe: 'Most tokens of the answer',
        })
        .option('answer-tokens', {
          ...text,
          describe: "Caller's estimate of the answer's tokens",
        })
        .option('parts', {
          ...text,
          describe: 'Parts of the prompt as in the header, ID:TOKENS,…',
        })
        .option('time-limit', {
          ...text,
          describe: "Caller's time limit, in ms",
        })
        .check(options => {
          checkOptions(options);
          return true;
        })
        .example(
          '$0 explain --host 10.0.0.1:9464 --name a.example --path /ask/ --prompt-tokens 900',
          'at a metrics or readiness address',
        ),
    handler: async ({host, json, timeLimit, ...options}) => {
      const {name, path, key, service, parts} = options;
      const {promptTokens, maxAnswerTokens, answerTokens} = options;
      const explanation = await context.createClient(host).explain({
        name,
        path,
        key,
        service,
        promptTokens,
        maxAnswerTokens,
        answerTokens,
        parts,
        timeLimitMs: timeLimit,
      });
      context.printResult(explanation, json, formatExplanation);
    },
  };
}

/** Throws on the first invalid option. */
function checkOptions(options: Readonly<Record<string, unknown>>): void {
  for (const [name, value] of Object.entries(options)) {
    if (Array.isArray(value) && name !== '_') {
      throw new Error(`${name} is given more than once`);
    }
  }
  const {name, path} = options as {name: string; path: string};
  if (name.trim() === '') {
    throw new Error('name is empty, allowed is a host name');
  }
  if (!path.startsWith('/')) {
    throw new Error(`path is "${path}", allowed is a path that begins with /`);
  }
  for (const option of COUNTS) {
    const value = options[option] as string | undefined;
    if (value === undefined || /^\d+$/.test(value)) continue;
    throw new Error(
      `${option} is "${value}", allowed is a whole number of 0 or more`,
    );
  }
}
