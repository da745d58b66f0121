import {PlacementRegistry, type Placement} from '@parsleywood/dispatch';
import type {RouteMatch} from '@parsleywood/forwarding';
import {CrashStatus} from '@parsleywood/requests';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {describeSubject} from '../gateway/attempts/describe_subject.js';
import {readRequestMetadata} from '../gateway/callers/read_request_metadata.js';
import {DEFAULT_HEADER_NAMES} from '../gateway/default_header_names.js';
import type {SuspectLog} from '../upstreams/suspect_log.js';
import type {SuspectSubject} from '../upstreams/suspect_subject.js';
import {SuspectTracker} from '../upstreams/suspect_tracker.js';
import type {SuspectFleetOptions} from './suspect_fleet_options.js';
import type {SuspectFleetRequest} from './suspect_fleet_request.js';
import {SuspectFleetResult} from './suspect_fleet_result.js';

const STEP_MS = 5;
const COMPARISON_INTERVAL_MS = 600;
const WAIT_MS = 25;
const MAX_WAIT_MS = 1_000;
const MAX_ATTEMPTS = 2;
/** Time from the start of an attempt to its first event, and from that to a crash. */
const PREFILL_MS = 30;
const CRASH_MS = 30;
const NOTICE_MS = 5;
const DOWN_MS = 400;
const MAX_LATENCY_MS = 30;
const MAX_LATE_MS = 1_500;
/** Time after which a suspect that was placed is sent, if no other host goes first. */
const SETTLE_MS = 80;
const OK = 200;

interface SentRequest extends SuspectFleetRequest {
  readonly sentAtMs: number;
}

interface Run {
  readonly subject: SuspectSubject;
  readonly request: SentRequest;
  readonly host: number;
  readonly upstream: number;
  readonly placement: Placement;
  readonly stateBefore: ReturnType<SuspectTracker['findState']>;
  readonly startedAtMs: number;
  readonly attempt: number;
  hasEvents: boolean;
}

/**
 * Hosts on virtual time that send requests to upstreams, of which some crash, and
 * tell each other of it, partly late or not at all.
 */
export class SuspectFleet {
  nowMs = 0;
  /** Times at which requests that crash upstreams reached one. */
  readonly badArrivals: number[] = [];
  /** Times of the crashes that they caused. */
  readonly badCrashes: number[] = [];
  /** Ends of sound requests. */
  readonly soundEnds: {sentAtMs: number; result: SuspectFleetResult}[] = [];
  private readonly trackers: SuspectTracker[];
  private readonly placements: PlacementRegistry[];
  /** Time at which the last message from one host to another arrives. */
  private readonly lastArrivals = new Map<string, number>();
  /** Whether a path is held up in a span of time. */
  private readonly holds = new Map<string, boolean>();
  private readonly runs = new Map<string, Run>();
  private readonly upAtMs: number[];
  private readonly tasks = new Map<number, (() => void)[]>();
  private readonly draw: () => number;
  private nextId = 0;

  constructor(private readonly options: SuspectFleetOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.draw = () => uniformFloat64(generator);
    this.upAtMs = new Array<number>(options.upstreams).fill(0);
    this.placements = Array.from(
      {length: options.hosts},
      () => new PlacementRegistry(),
    );
    this.trackers = Array.from({length: options.hosts}, (_none, at) =>
      this.createTracker(at),
    );
  }

  run(ms: number): void {
    for (const untilMs = this.nowMs + ms; this.nowMs < untilMs;) {
      this.nowMs += STEP_MS;
      const due = this.tasks.get(this.nowMs) ?? [];
      this.tasks.delete(this.nowMs);
      for (const task of due) task();
      if (this.nowMs % COMPARISON_INTERVAL_MS !== 0) continue;
      this.compare(this.drawHost(), this.drawHost());
    }
  }

  /** Sends a request to a drawn host. */
  send(request: SuspectFleetRequest): void {
    const host = this.drawHost();
    const metadata = readRequestMetadata(
      {headers: Object.fromEntries(request.headers), method: request.method},
      request.target,
      DEFAULT_HEADER_NAMES,
    );
    const received = {
      metadata,
      headers: request.headers.flat(),
      body: Buffer.from(request.body),
      receivedAtMs: this.nowMs,
    };
    const match = {account: {name: request.account}} as unknown as RouteMatch;
    const subject = describeSubject(match, received, DEFAULT_HEADER_NAMES);
    const sent = {...request, sentAtMs: this.nowMs};
    this.place(sent, subject, host, 0, this.nowMs);
  }

  /** Replaces a host with one that knows what another one tells; none if it is alone. */
  restart(host: number): void {
    const peer = (host + 1) % this.options.hosts;
    if (peer === host) return;
    for (const run of [...this.runs.values()]) {
      if (run.host === host) this.end(run);
    }
    this.trackers[host] = this.createTracker(host);
    this.placements[host] = new PlacementRegistry();
    this.compare(host, peer);
  }

  /** Crashes an upstream, for a reason of its own. */
  crash(upstream: number): void {
    this.upAtMs[upstream] = this.nowMs + DOWN_MS;
    for (const run of this.runs.values()) {
      if (run.upstream !== upstream) continue;
      this.schedule(NOTICE_MS, () => {
        if (this.runs.has(run.placement.id)) this.recordCrash(run);
      });
    }
  }

  private recordCrash(run: Run): void {
    const {request, subject, host, attempt, placement, stateBefore} = run;
    const placements = this.getPlacements(host);
    const isSuspect = stateBefore.status === CrashStatus.SUSPECT;
    const isIsolated = placements.isIsolated(placement.id);
    this.getTracker(host).recordCrash(subject, {
      upstreams: [placement.upstream],
      stateBefore,
      wasIsolated: isSuspect && isIsolated && !run.hasEvents,
      hadLease: false,
      wasAlone: placements.isAlone(placement.id),
      startedAtMs: run.startedAtMs,
    });
    this.end(run);
    if (attempt + 1 === MAX_ATTEMPTS) {
      this.record(request, SuspectFleetResult.FAILED);
    } else this.place(request, subject, host, attempt + 1, this.nowMs);
  }

  private place(
    request: SentRequest,
    subject: SuspectSubject,
    host: number,
    attempt: number,
    sinceMs: number,
  ): void {
    const tracker = this.getTracker(host);
    const placements = this.getPlacements(host);
    const again = (): void => {
      this.schedule(WAIT_MS, () => {
        this.place(request, subject, host, attempt, sinceMs);
      });
    };
    const block = tracker.findBlock(subject);
    if (block !== undefined || this.nowMs - sinceMs >= MAX_WAIT_MS) {
      const {REFUSED, DEFERRED} = SuspectFleetResult;
      this.record(request, block?.isFinal ? REFUSED : DEFERRED);
      return;
    }
    const stateBefore = tracker.findState(subject);
    const quarantine = tracker.findQuarantine(subject);
    const isSuspect = stateBefore.status !== CrashStatus.CLEAR;
    const fingerprint = isSuspect ? tracker.computeFingerprint(subject) : '';
    const suspect = quarantine === '' ? fingerprint : quarantine;
    const isBusy =
      (quarantine !== '' && placements.isRunning(quarantine)) ||
      placements.isBeingTried(suspect);
    const upstream = isBusy ? undefined : this.choose(placements, suspect);
    if (upstream === undefined) {
      again();
      return;
    }
    const placement = this.createPlacement(upstream, suspect);
    const run = {
      ...{request, subject, host, upstream, placement, attempt},
      ...{stateBefore, startedAtMs: this.nowMs, hasEvents: false},
    };
    this.runs.set(placement.id, run);
    this.publish(host, to => {
      this.getPlacements(to).add(placement, this.nowMs);
    });
    placements.add(placement, this.nowMs);
    this.schedule(suspect === '' ? 0 : SETTLE_MS, () => {
      if (!this.runs.has(placement.id)) return;
      const hasOther = placements.hasTrialBefore(suspect, placement.id);
      if (hasOther || tracker.findBlock(subject) !== undefined) {
        this.end(run);
        again();
      } else if (this.isDown(upstream)) {
        this.end(run);
        again();
      } else this.start(run);
    });
  }

  private start(run: Run): void {
    const {request, subject, host, upstream, placement} = run;
    if (request.isBad) this.badArrivals.push(this.nowMs);
    this.schedule(PREFILL_MS, () => {
      if (request.isBad && !this.options.crashesInAnswer) return;
      run.hasEvents = true;
      this.publish(host, to => {
        this.getPlacements(to).startDecode(placement.id, this.nowMs);
      });
      this.getPlacements(host).startDecode(placement.id, this.nowMs);
    });
    const doesCrash = request.isBad && this.draw() < this.options.crashRatio;
    const lastsMs = PREFILL_MS + CRASH_MS + this.draw() * request.decodeMs;
    this.schedule(doesCrash ? PREFILL_MS + CRASH_MS : lastsMs, () => {
      if (!this.runs.has(placement.id) || this.isDown(upstream)) return;
      if (doesCrash) {
        this.badCrashes.push(this.nowMs);
        this.crash(upstream);
        return;
      }
      this.end(run);
      this.getTracker(host).recordAnswer(subject, OK, run.startedAtMs);
      this.record(request, SuspectFleetResult.ANSWERED);
    });
  }

  private createPlacement(upstream: number, suspect: string): Placement {
    const part = {upstream: `u${upstream}`, tokens: 0, millionPairs: 0};
    return {
      id: `${this.nextId++}`,
      host: '',
      upstream: `u${upstream}`,
      promptTokens: 0,
      answerTokens: 0,
      objectiveMs: 0,
      pauseObjectiveMs: Infinity,
      suspect,
      parts: [{...part, heldTokens: 0, passMs: 0}],
    };
  }

  private choose(
    placements: PlacementRegistry,
    suspect: string,
  ): number | undefined {
    const up = [...this.upAtMs.keys()].filter(at => !this.isDown(at));
    const isolated = up.filter(
      at => !placements.hasSuspect(`u${at}`, suspect, this.nowMs),
    );
    const idle = isolated.filter(at => placements.isIdle(`u${at}`, this.nowMs));
    const choices = suspect === '' ? [up] : [idle, isolated, up];
    const candidates = choices.find(({length}) => length > 0) ?? [];
    return candidates[Math.floor(this.draw() * candidates.length)];
  }

  private isDown(upstream: number): boolean {
    return this.nowMs < (this.upAtMs[upstream] ?? 0);
  }

  private end({host, placement}: Run): void {
    this.runs.delete(placement.id);
    this.publish(host, to => {
      this.getPlacements(to).end(placement.id);
    });
    this.getPlacements(host).end(placement.id);
  }

  private record(
    {isBad, sentAtMs}: SentRequest,
    result: SuspectFleetResult,
  ): void {
    if (!isBad) this.soundEnds.push({sentAtMs, result});
  }

  private drawHost(): number {
    return Math.floor(this.draw() * this.trackers.length);
  }

  /** Exchanges what two hosts know otherwise. */
  private compare(left: number, right: number): void {
    const [one, other] = [this.getTracker(left), this.getTracker(right)];
    const toOther = one.listDifferences(other.summarize(false));
    const toOne = other.listDifferences(one.summarize(false));
    for (const it of toOther.suspects) other.applyUpdate(it);
    for (const it of toOne.suspects) one.applyUpdate(it);
  }

  private createTracker(host: number): SuspectTracker {
    const publish = (apply: (tracker: SuspectTracker) => void): void => {
      this.publish(host, to => {
        apply(this.getTracker(to));
      });
    };
    return new SuspectTracker(
      {nowMs: () => this.nowMs, wallMs: () => this.nowMs},
      {
        publishSuspect: it => {
          publish(tracker => {
            tracker.applyUpdate(it);
          });
        },
        publishTraitCrash: it => {
          publish(tracker => {
            tracker.applyTraitCrash(it);
          });
        },
        publishTraitAnswer: it => {
          publish(tracker => {
            tracker.applyTraitAnswer(it);
          });
        },
      },
      {record: () => undefined} as unknown as SuspectLog,
      () => this.options.hosts,
      this.draw(),
    );
  }

  /**
   * Tells all other hosts something, in the order in which it is told. Some of it is
   * lost, and some paths are held up now and then.
   */
  private publish(from: number, apply: (to: number) => void): void {
    const {hosts, lossRatio, lateRatio} = this.options;
    for (let to = 0; to < hosts; to++) {
      if (to === from || this.draw() < lossRatio) continue;
      const path = `${from} ${to}`;
      const slot = Math.floor(this.nowMs / MAX_LATE_MS);
      const name = `${path} ${slot}`;
      const isHeld = this.holds.get(name) ?? this.draw() < lateRatio;
      this.holds.set(name, isHeld);
      const fromMs = isHeld ? (slot + 1) * MAX_LATE_MS : this.nowMs;
      const lastMs = this.lastArrivals.get(path) ?? 0;
      const atMs = Math.max(lastMs, fromMs + this.draw() * MAX_LATENCY_MS);
      this.lastArrivals.set(path, atMs);
      this.schedule(atMs - this.nowMs, () => {
        apply(to);
      });
    }
  }

  private getPlacements(host: number): PlacementRegistry {
    const placements = this.placements[host];
    if (placements === undefined) throw new Error(`no host ${host}`);
    return placements;
  }

  private getTracker(host: number): SuspectTracker {
    const tracker = this.trackers[host];
    if (tracker === undefined) throw new Error(`no host ${host}`);
    return tracker;
  }

  private schedule(delayMs: number, task: () => void): void {
    const steps = Math.max(1, Math.ceil(delayMs / STEP_MS));
    const atMs = this.nowMs + steps * STEP_MS;
    this.tasks.set(atMs, [...(this.tasks.get(atMs) ?? []), task]);
  }
}
