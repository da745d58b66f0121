import type {
  ConsideredUpstream,
  ExplainedInputs,
  Explanation,
} from '@parsleywood/schema/explanation';
import {formatDuration} from './format_duration.js';
import {formatTable} from './format_table.js';
import {formatValue} from './format_value.js';

const MS_PER_SECOND = 1_000;
const COLUMN_NAMES = ['UPSTREAM', 'ADDRESS', 'DOMAIN', 'USE', 'REQUESTS'];
const ENGINE_COLUMN_NAMES = ['BACKLOG', 'MEMORY', 'SLOWDOWN', 'ALONE', 'LOSS'];

/**
 * Formats where a request would go, and a table of the upstreams considered. For
 * engines `ALONE` is the expected time to the first event if one prefills the whole
 * prompt, and `LOSS` the tokens that are then lost by being late.
 */
export function formatExplanation(explanation: Explanation): string {
  const {host, demand, upstreams, inputs} = explanation;
  const lines = [
    `asked    ${host}`,
    `route    ${formatRoute(explanation)}`,
    ...(demand === undefined
      ? []
      : [
          `needs    prompt of ${demand.promptTokens} tokens, answer of ` +
            `${Math.round(demand.answerTokens)}, within ${demand.objectiveMs} ms; ` +
            `the caller waits ${demand.callerTimeoutMs} ms`,
        ]),
    formatResult(explanation),
    `inputs   ${formatInputs(inputs)}`,
  ];
  if (upstreams.length === 0) return lines.join('\n');
  const hasEngines = upstreams.some(({engine}) => engine !== undefined);
  const columns = [...COLUMN_NAMES, ...(hasEngines ? ENGINE_COLUMN_NAMES : [])];
  const rows = upstreams.map(upstream => formatRow(upstream, explanation));
  return [lines.join('\n'), formatTable(columns, rows)].join('\n\n');
}

function formatRoute({route, service, targets, account}: Explanation): string {
  if (route === undefined) return '-';
  const others = (targets ?? []).filter(target => target.service !== service);
  const spread = others.map(target => `${target.service}:${target.weight}`);
  const also = spread.length === 0 ? '' : ` (also ${spread.join(', ')})`;
  return `${route}, service ${service ?? '-'}${also}, account ${account ?? '-'}`;
}

function formatResult({choice, refusal}: Explanation): string {
  if (refusal !== undefined) {
    const {status, kind, message, waitMs, retryAfterMs} = refusal;
    const wait =
      waitMs === undefined ? '' : `; capacity expected in ${waitMs} ms`;
    const retryAfter =
      retryAfterMs === undefined
        ? ''
        : `; Retry-After ${retryAfterMs / MS_PER_SECOND} s or more`;
    return `refused  ${status} ${kind}: ${message}${wait}${retryAfter}`;
  }
  if (choice === undefined) return 'goes to  -';
  const {upstream, helpers, expectedMs, objectiveMs} = choice;
  const help = helpers.length === 0 ? '' : ` with ${helpers.join(', ')}`;
  const expected =
    expectedMs === undefined
      ? ''
      : `; first event expected in ${expectedMs} ms, objective ${objectiveMs} ms`;
  return `goes to  ${upstream}${help}${expected}`;
}

function formatInputs(inputs: ExplainedInputs): string {
  const {storeAgeMs, epoch, revision, version, placements, upMs} = inputs;
  const store =
    storeAgeMs === undefined
      ? 'store never answered'
      : `store answered ${storeAgeMs} ms ago`;
  const position = `epoch ${epoch} revision ${revision} version ${version}`;
  const count = `${placements} placements known`;
  const up = `up ${formatDuration(upMs)}`;
  return [store, position, formatPeers(inputs), count, up].join(', ');
}

function formatPeers({
  peers,
  newestPeerMs,
  oldestPeerMs,
}: ExplainedInputs): string {
  if (newestPeerMs === undefined || oldestPeerMs === undefined) {
    return 'no other host heard';
  }
  if (peers === 1) return `1 other host heard ${newestPeerMs} ms ago`;
  return `${peers} other hosts heard ${newestPeerMs} to ${oldestPeerMs} ms ago`;
}

function formatRow(
  upstream: ConsideredUpstream,
  explanation: Explanation,
): string[] {
  const {id, address, failureDomain, requests, slots, engine} = upstream;
  const use = formatUse(upstream, explanation);
  const cells = [id, address, failureDomain, use, `${requests}/${slots}`];
  if (engine === undefined) return cells;
  const {backlogMs, usedMemoryTokens, memoryTokens} = engine;
  return [
    ...cells,
    `${backlogMs} ms`,
    `${usedMemoryTokens}/${memoryTokens}`,
    formatValue(engine.slowdownFactor),
    `${engine.aloneMs} ms`,
    formatValue(engine.lossTokens),
  ];
}

function formatUse(
  {id, exclusion, restMs, perSecond, paceWindow}: ConsideredUpstream,
  {choice}: Explanation,
): string {
  const rate = perSecond === undefined ? '' : ` (${perSecond}/s)`;
  const pace =
    paceWindow === undefined ? '' : ` (slow start, up to ${paceWindow})`;
  const limit = `${rate}${pace}`;
  if (exclusion !== undefined) {
    const rest = restMs === undefined ? '' : ` for ${restMs} ms`;
    return `${exclusion}${rest}${limit}`;
  }
  if (choice?.upstream === id) return `chosen${limit}`;
  const isHelper = choice?.helpers.includes(id) ?? false;
  return `${isHelper ? 'helper' : 'candidate'}${limit}`;
}
