import type {LoadPattern} from '@parsleywood/schema/load_pattern';

/** Fields of a gateway's log line on a request that is over. */
interface RequestOver {
  readonly event: string;
  readonly time: string;
  readonly route: string;
  readonly promptTokens: number;
  readonly events: number;
  readonly outcome: string;
  readonly tookMs: number;
}

/**
 * Makes a pattern of the requests in the logs of gateways. Each route becomes the
 * kind whose mean prompt is next to its own.
 *
 * @param template Hosts, engines and kinds of the site.
 * @param lines Log lines of all gateways; others than JSON are passed over.
 */
export function recordPattern(
  template: LoadPattern,
  lines: Iterable<string>,
): LoadPattern {
  const requests = [...lines].flatMap(parseLine);
  const startMs = Math.min(...requests.map(arrivedAtMs));
  const kindOf = matchRoutes(template, requests);
  const arrivals = requests
    .map((one): [number, number, number, number] => {
      const kind = kindOf.get(one.route) ?? 0;
      const written = one.events * template.engine.stepsPerPass;
      const isWhole = one.outcome === 'answered' && written > 0;
      const usual = template.kinds[kind]?.answerTokens ?? written;
      const atMs = Math.round(arrivedAtMs(one) - startMs);
      return [atMs, kind, one.promptTokens, isWhole ? written : usual];
    })
    .sort(([left], [right]) => left - right);
  return {
    ...template,
    durationMs: (arrivals.at(-1)?.[0] ?? 0) + 1,
    kinds: template.kinds.map(kind => ({...kind, perSecond: 0})) as [
      LoadPattern['kinds'][number],
    ],
    arrivals,
  };
}

function parseLine(line: string): RequestOver[] {
  const start = line.indexOf('{');
  if (start < 0 || !line.includes('"request_over"')) return [];
  try {
    const fields = JSON.parse(line.slice(start)) as RequestOver;
    return fields.promptTokens > 0 ? [fields] : [];
  } catch {
    // A line that was cut off tells nothing.
    return [];
  }
}

function arrivedAtMs({time, tookMs}: RequestOver): number {
  return Date.parse(time) - tookMs;
}

function matchRoutes(
  {kinds}: LoadPattern,
  requests: readonly RequestOver[],
): Map<string, number> {
  const byRoute = new Map<string, number[]>();
  for (const {route, promptTokens} of requests) {
    const prompts = byRoute.get(route) ?? [];
    prompts.push(promptTokens);
    byRoute.set(route, prompts);
  }
  const found = new Map<string, number>();
  for (const [route, prompts] of byRoute) {
    const mean = prompts.reduce((sum, one) => sum + one, 0) / prompts.length;
    const distances = kinds.map(({promptTokens}) =>
      Math.abs(Math.log(promptTokens / mean)),
    );
    found.set(route, distances.indexOf(Math.min(...distances)));
  }
  return found;
}
