import fc from 'fast-check';
import type {ColdHistory} from './cold_history.js';

/** Draws what happens to a site of 6 to 300 hosts. */
export const COLD_HISTORIES: fc.Arbitrary<ColdHistory> = fc.record({
  seed: fc.nat(),
  hosts: fc.oneof(
    {weight: 30, arbitrary: fc.integer({min: 6, max: 30})},
    {weight: 4, arbitrary: fc.integer({min: 60, max: 100})},
    {weight: 1, arbitrary: fc.constantFrom(200, 300)},
  ),
  perSecond: fc.constantFrom(0.5, 4, 18, 60),
  faults: fc.array(
    fc.record({
      kind: fc.constantFrom(
        'partition' as const,
        'freeze' as const,
        'restart' as const,
        'stop' as const,
        'join' as const,
      ),
      atMs: fc.integer({min: 2_000, max: 40_000}),
      forMs: fc.oneof(
        fc.integer({min: 300, max: 5_000}),
        fc.integer({min: 5_000, max: 55_000}),
      ),
      share: fc.oneof(
        fc.double({min: 0.02, max: 0.4, noNaN: true}),
        fc.double({min: 0.02, max: 1, noNaN: true}),
      ),
    }),
    {maxLength: 5},
  ),
  colds: fc.array(
    fc.record({
      isNew: fc.boolean(),
      upstream: fc.nat({max: 1}),
      atMs: fc.integer({min: 1_000, max: 40_000}),
      forMs: fc.integer({min: 4_000, max: 40_000}),
    }),
    {minLength: 1, maxLength: 4},
  ),
});
