import {hasAll} from './has_all.js';
import {joinReports} from './join_reports.js';
import {listTraits} from './list_traits.js';
import type {TraitCrash} from './trait_crash.js';

/** Time in which reports also arrive that are late. */
const LATE_MS = 2_000;
/** Crashes under one request, or under different ones with a trait, for a proof. */
const MIN_CRASHES = 2;
/** The same for prompts with a part: two of them may crash upstreams by themselves. */
const MIN_PROMPTS = 3;

/**
 * Finds what crashed upstreams while nothing else ran there, so that there is no other
 * explanation on their side. What ran there is known once all hosts would have told.
 */
export class CrashProofs {
  /** @param crashes Recent reports of all hosts. */
  constructor(
    private readonly crashes: readonly TraitCrash[],
    private readonly nowMs: number,
  ) {}

  /** Monotonic time of the next proof, at the latest; -Infinity if there is none. */
  get dueAtMs(): number {
    const times = this.crashes
      .filter(({wasAlone}) => wasAlone)
      .map(({crashedAtMs}) => crashedAtMs + LATE_MS);
    return Math.max(-Infinity, ...times);
  }

  /** Lists the requests, by their fingerprints, that crashed upstreams repeatedly. */
  listRequests(): string[] {
    const alone = this.crashes.filter(({wasAlone}) => wasAlone);
    const names = new Set(alone.map(({request}) => request));
    return [...names].filter(name => {
      const crashes = this.listAlone(({request}) => request === name);
      return crashes.length >= MIN_CRASHES;
    });
  }

  /** Whether different requests with all traits of a group crashed upstreams. */
  hasGroup(group: readonly string[]): boolean {
    const crashes = this.listAlone(report =>
      hasAll(new Set(listTraits(report)), group),
    );
    const arePrompts = crashes.some(({parts}) => parts.length > 0);
    const names = crashes.map(({scopes: [first], request}) =>
      arePrompts ? (first ?? request) : request,
    );
    return new Set(names).size >= (arePrompts ? MIN_PROMPTS : MIN_CRASHES);
  }

  /** Lists a report on each crash of an upstream that ran only requests of one sort. */
  private listAlone(isOfSort: (report: TraitCrash) => boolean): TraitCrash[] {
    const others = this.crashes.filter(it => !isOfSort(it));
    return joinReports(this.crashes.filter(isOfSort))
      .filter(({atMs}) => this.nowMs - atMs >= LATE_MS)
      .flatMap(({reports}) => reports.slice(0, 1))
      .filter(it => it.wasAlone && !others.some(other => isNear(it, other)));
  }
}

/** Whether two reports may tell of the same crash, also if one came late. */
function isNear(one: TraitCrash, other: TraitCrash): boolean {
  const apartMs = Math.abs(one.crashedAtMs - other.crashedAtMs);
  return one.upstream === other.upstream && apartMs < LATE_MS;
}
