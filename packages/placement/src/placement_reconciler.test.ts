import {expect} from 'chai';
import fc from 'fast-check';
import {EngineCommandKind} from './engine_command_kind.js';
import {PlacementReconciler} from './placement_reconciler.js';
import {PlacementActionKind} from './placement_action_kind.js';
import type {PlacementEvent} from './placement_event.js';
import {PlacementEventKind} from './placement_event_kind.js';
import type {PlacementPlan} from './placement_plan.js';
import {toFencingToken} from './to_fencing_token.js';
import {VirtualSite} from './virtual_site.test.js';

const WEIGHT_STORE_BYTES_PER_SECOND = 4_000;
const SMALL_ARTIFACT_BYTES = 3_000;
const LARGE_ARTIFACT_BYTES = 24_000;
const FAULTS_END_MS = 60_000;
const END_MS = 240_000;

/** Values in which the generated plans of one run differ. */
interface PlanVariant {
  readonly version: string;
  readonly adapterVersion: string;
  readonly prefillEngines: number;
  readonly loadsAtOnce: number;
}

function makePlan(
  index: number,
  variant: PlanVariant,
  engineChecksFencing: readonly boolean[],
  sizeBytes: number,
): PlacementPlan {
  const {LOAD_MODEL, LOAD_ADAPTER} = EngineCommandKind;
  return {
    fencing: toFencingToken({base: index + 1, overlay: 1, upstreams: 1})!,
    bytesPerSecond: WEIGHT_STORE_BYTES_PER_SECOND,
    loadsAtOnce: variant.loadsAtOnce,
    readBackMs: 2_000,
    engines: engineChecksFencing.map((checksFencing, engine) => ({
      engine: `e${engine}`,
      model: 'm',
      role: engine < variant.prefillEngines ? 'prefill' : 'both',
      checksFencing,
      loads: [
        {
          kind: LOAD_MODEL,
          name: 'm',
          version: variant.version,
          sizeBytes,
        },
        {
          kind: LOAD_ADAPTER,
          name: 'a',
          version: variant.adapterVersion,
          sizeBytes,
        },
      ],
    })),
  };
}

const timeMs = fc.integer({min: 0, max: FAULTS_END_MS});
const hostIndex = fc.integer({min: 0, max: 3});
const schedules = fc.record({
  seed: fc.integer(),
  hostCount: fc.integer({min: 2, max: 4}),
  checksFencing: fc.array(fc.boolean(), {minLength: 2, maxLength: 4}),
  lossPercent: fc.constantFrom(0, 10, 30),
  plans: fc.array(
    fc.record({
      version: fc.constantFrom('1', '2', '3'),
      adapterVersion: fc.constantFrom('x', 'y'),
      prefillEngines: fc.integer({min: 0, max: 1}),
      loadsAtOnce: fc.integer({min: 1, max: 2}),
    }),
    {minLength: 2, maxLength: 4},
  ),
  planIntervalMs: fc.integer({min: 500, max: 8_000}),
  startsPartitioned: fc.boolean(),
  sizeBytes: fc.constant<number>(SMALL_ARTIFACT_BYTES),
  adoptions: fc.array(
    fc.record({
      host: hostIndex,
      plan: hostIndex,
      jitterMs: fc.integer({min: 0, max: 2_000}),
    }),
    {minLength: 2, maxLength: 12},
  ),
  newestHost: hostIndex,
  views: fc.array(
    fc.record({
      host: hostIndex,
      atMs: timeMs,
      alive: fc.subarray(['h0', 'h1', 'h2', 'h3']),
    }),
    {maxLength: 6},
  ),
  pauses: fc.array(
    fc.record({
      host: hostIndex,
      fromMs: fc.integer({min: 0, max: 25_000}),
      forMs: fc.integer({min: 100, max: 20_000}),
    }),
    {maxLength: 4},
  ),
  restarts: fc.array(fc.record({engine: hostIndex, atMs: timeMs}), {
    maxLength: 3,
  }),
});
type Schedule = typeof schedules extends fc.Arbitrary<infer T> ? T : never;

function runSchedule(schedule: Schedule, commandDelaysMs?: readonly number[]) {
  const {seed, hostCount, checksFencing, pauses, lossPercent} = schedule;
  const site = new VirtualSite(
    seed,
    hostCount,
    checksFencing,
    pauses,
    lossPercent,
    FAULTS_END_MS,
    commandDelaysMs,
  );
  const plans = schedule.plans.map((variant, index) =>
    makePlan(index, variant, checksFencing, schedule.sizeBytes),
  );
  const newest = plans.at(-1)!;
  const adoptPlan = (host: number, plan: PlacementPlan, atMs: number) => {
    site.schedule(atMs, () => {
      site.deliver(host % hostCount, {kind: PlacementEventKind.PLAN, plan});
    });
  };
  const names = Array.from({length: hostCount}, (_, i) => `h${i}`);
  const deliverView = (
    host: number,
    alive: readonly string[],
    atMs: number,
  ) => {
    const kind = PlacementEventKind.MEMBERS;
    site.schedule(atMs, () => {
      site.deliver(host % hostCount, {kind, alive, listed: hostCount});
    });
  };
  names.forEach((name, host) => {
    deliverView(host, schedule.startsPartitioned ? [name] : names, 0);
    adoptPlan(host, plans[0]!, 0);
    deliverView(host, names, FAULTS_END_MS);
  });
  for (const {host, plan, jitterMs} of schedule.adoptions) {
    const index = plan % plans.length;
    adoptPlan(host, plans[index]!, index * schedule.planIntervalMs + jitterMs);
  }
  for (const {host, alive, atMs} of schedule.views) {
    const aliveHosts = alive.filter(name => names.includes(name));
    deliverView(host, aliveHosts, atMs);
  }
  adoptPlan(schedule.newestHost, newest, FAULTS_END_MS);
  for (const {engine, atMs} of schedule.restarts) {
    site.schedule(atMs, () =>
      site.engines[engine % checksFencing.length]!.restart(),
    );
  }
  site.run(END_MS);
  return {site, newest};
}

function startReconciler(checksFencing: boolean) {
  const variant = {
    version: '1',
    adapterVersion: 'x',
    prefillEngines: 0,
    loadsAtOnce: 1,
  };
  const plan = makePlan(0, variant, [checksFencing], SMALL_ARTIFACT_BYTES);
  const reconciler = new PlacementReconciler('h0');
  const kind = PlacementEventKind.MEMBERS;
  reconciler.handle({kind, alive: ['h0'], listed: 1}, 0);
  reconciler.handle({kind: PlacementEventKind.PLAN, plan}, 0);
  return {reconciler, plan};
}

describe('PlacementReconciler', () => {
  it('brings every engine to the newest plan and never reverts a change', () => {
    const property = fc.property(schedules, schedule => {
      const {site, newest} = runSchedule(schedule);
      site.engines.forEach((engine, index) => {
        expect(engine.reverts).to.deep.equal([]);
        const desired = newest.engines[index]!;
        const {fencing, role, loads} = engine.read(END_MS);
        expect({fencing, role}).to.deep.equal({
          fencing: newest.fencing,
          role: desired.role,
        });
        expect(loads).to.have.deep.members(
          desired.loads.map(({kind, name, version}) => {
            return {kind, name, version, ready: true};
          }),
        );
      });
    });
    fc.assert(property, {seed: 1, numRuns: 120});
  });

  it('keeps at least one engine serving while the model version changes', () => {
    const property = fc.property(schedules, schedule => {
      const {site} = runSchedule({...schedule, restarts: []});
      expect(site.unservedMs).to.deep.equal([]);
    });
    fc.assert(property, {seed: 2, numRuns: 120});
  });

  it('never reverts engines without fencing checks in a partition', () => {
    const property = fc.property(schedules, schedule => {
      const checksFencing = schedule.checksFencing.map(() => false);
      const adoptions = [{host: 1, plan: 1, jitterMs: 0}];
      const partitioned = {
        hostCount: 2,
        startsPartitioned: true,
        views: [],
        pauses: [],
      };
      const reliable = {lossPercent: 0 as const, restarts: []};
      const {site} = runSchedule(
        {...schedule, ...partitioned, ...reliable, checksFencing, adoptions},
        [900, 10],
      );
      for (const {reverts} of site.engines) expect(reverts).to.deep.equal([]);
    });
    fc.assert(property, {seed: 7, numRuns: 150});
  });

  it('loads at most loadsAtOnce engines of a model at a time', () => {
    const property = fc.property(schedules, schedule => {
      const plans = schedule.plans.map(plan => ({...plan, loadsAtOnce: 1}));
      const reliable = {lossPercent: 0 as const, pauses: [], restarts: []};
      const {site} = runSchedule({...schedule, ...reliable, plans});
      expect(site.maxLoading).to.be.at.most(1);
    });
    fc.assert(property, {seed: 6, numRuns: 60});
  });

  it('delays loads until late commands of older plans have taken effect', () => {
    const {reconciler, plan} = startReconciler(false);
    const content = {fencing: plan.fencing, role: 'both', loads: []};
    const commandTimesMs: number[] = [];
    for (let nowMs = 500; nowMs <= 5_000 && !commandTimesMs[0]; nowMs += 500) {
      const event: PlacementEvent = {
        kind: PlacementEventKind.READ_BACK,
        engine: 'e0',
        content,
      };
      const actions = reconciler.handle(event, nowMs);
      if (actions.some(one => one.kind === PlacementActionKind.SEND_COMMAND)) {
        commandTimesMs.push(nowMs);
      }
      reconciler.handle({kind: PlacementEventKind.WAKE}, nowMs);
    }
    // The read that starts at 0 ms and ends at 500 ms shows the new fencing
    // token. A read that starts at least 3 s after that allows the load.
    expect(commandTimesMs).to.deep.equal([4_000]);
  });

  it('sends no command based on a read that started before a pause', () => {
    const {reconciler} = startReconciler(true);
    const content = {fencing: 0, role: 'both', loads: []};
    const kind = PlacementEventKind.READ_BACK;
    const actions = reconciler.handle({kind, engine: 'e0', content}, 20_000);
    expect(actions.map(one => one.kind)).to.not.include(
      PlacementActionKind.SEND_COMMAND,
    );
  });

  it('neither reads engines nor sends commands once disabled', () => {
    const {reconciler} = startReconciler(true);
    const content = {fencing: 0, role: 'both', loads: []};
    reconciler.handle({kind: PlacementEventKind.DISABLED}, 10);
    const kind = PlacementEventKind.READ_BACK;
    const actions = reconciler.handle({kind, engine: 'e0', content}, 20);
    expect(actions).to.deep.equal([]);
    expect(reconciler.wakeAtMs()).to.equal(Infinity);
  });

  it('keeps loads within the weight store rate plus one load per host', () => {
    const property = fc.property(schedules, schedule => {
      const {site} = runSchedule({
        ...schedule,
        sizeBytes: LARGE_ARTIFACT_BYTES,
      });
      const timesMs = site.engines
        .flatMap(engine => engine.loadTimesMs)
        .sort((a, b) => a - b);
      timesMs.forEach((fromMs, firstIndex) => {
        timesMs.slice(firstIndex).forEach((untilMs, laterLoads) => {
          // A command takes up to 0.9 s to reach the engine, which widens the
          // window in which it may have been sent.
          const seconds = (untilMs - fromMs + 900) / 1_000;
          const allowedBytes =
            WEIGHT_STORE_BYTES_PER_SECOND * seconds +
            schedule.hostCount * LARGE_ARTIFACT_BYTES;
          expect((laterLoads + 1) * LARGE_ARTIFACT_BYTES).to.be.at.most(
            allowedBytes,
          );
        });
      });
    });
    fc.assert(property, {seed: 3, numRuns: 120});
  });
});
