import {expect} from 'chai';
import fc from 'fast-check';
import {formatProblem, mergeSettings, parseSettings} from './index.js';

const RUNS = {seed: 1, numRuns: 500};
const NAME = fc.constantFrom('a', 'b', 'c', 'toString', 'valueOf', 'toJSON');
const {json} = fc.letrec<{json: unknown}>(tie => ({
  json: fc.oneof(
    {maxDepth: 4},
    fc.constantFrom(null, true, 0, 1, 'x', ''),
    fc.array(tie('json'), {maxLength: 2}),
    fc.dictionary(NAME, tie('json'), {maxKeys: 4, noNullPrototype: true}),
  ),
}));

describe('mergeSettings', () => {
  it('merges the examples of RFC 7396', () => {
    const cases = [
      [{a: 'b'}, {a: 'c'}, {a: 'c'}],
      [{a: 'b'}, {b: 'c'}, {a: 'b', b: 'c'}],
      [{a: 'b'}, {a: null}, {}],
      [{a: 'b', b: 'c'}, {a: null}, {b: 'c'}],
      [{a: ['b']}, {a: 'c'}, {a: 'c'}],
      [{a: 'c'}, {a: ['b']}, {a: ['b']}],
      [{a: {b: 'c'}}, {a: {b: 'd', c: null}}, {a: {b: 'd'}}],
      [{a: [{b: 'c'}]}, {a: [1]}, {a: [1]}],
      [
        ['a', 'b'],
        ['c', 'd'],
        ['c', 'd'],
      ],
      [{a: 'b'}, ['c'], ['c']],
      [{a: 'foo'}, null, null],
      [{a: 'foo'}, 'bar', 'bar'],
      [{e: null}, {a: 1}, {e: null, a: 1}],
      [[1, 2], {a: 'b', c: null}, {a: 'b'}],
      [{}, {a: {bb: {ccc: null}}}, {a: {bb: {}}}],
    ];
    const merged = cases.map(([base, patch]) => mergeSettings(base, patch));
    expect(merged).to.eql(cases.map(([, , result]) => result));
  });

  it('matches the algorithm of RFC 7396 and changes no input', () => {
    fc.assert(
      fc.property(json, json, (base, patch) => {
        const inputs = structuredClone([base, patch]);
        expect(mergeSettings(base, patch)).to.eql(patchByRfc(base, patch));
        expect([base, patch]).to.eql(inputs);
      }),
      RUNS,
    );
  });

  it('is idempotent', () => {
    fc.assert(
      fc.property(json, json, (base, patch) => {
        const once = mergeSettings(base, patch);
        expect(mergeSettings(once, patch)).to.eql(once);
      }),
      RUNS,
    );
  });
});

describe('parseSettings', () => {
  it('describes nesting that is too deep in one short line', () => {
    const nested = '['.repeat(100_000) + ']'.repeat(100_000);
    for (const text of [nested, `{"a":${nested}}`, `{"__proto__":${nested}}`]) {
      const problem = parseSettings(text).mapErr(formatProblem);
      expect(problem.isErr && problem.error).to.match(/^.{1,200}$/);
    }
  });

  it('refuses reserved names, which the merge ignores', () => {
    const parsed = parseSettings('{"a/b": {"__proto__": 1}}');
    expect(parsed.unwrapOrElse(problem => problem)).to.eql({
      path: '/a~1b/__proto__',
      value: 1,
      allowed: 'a different name (this one is reserved)',
    });
  });

  it('refuses nesting so deep that it would crash the process', () => {
    const depth = 100_000;
    const parsed = parseSettings('['.repeat(depth) + ']'.repeat(depth));
    expect(parsed.isErr).to.equal(true);
  });
});

/** The algorithm of RFC 7396, section 2. */
function patchByRfc(target: unknown, patch: unknown): unknown {
  if (!isObject(patch)) return patch;
  const result = new Map(Object.entries(isObject(target) ? target : {}));
  for (const [name, value] of Object.entries(patch)) {
    if (value === null) result.delete(name);
    else result.set(name, patchByRfc(result.get(name), value));
  }
  return Object.fromEntries(result);
}

function isObject(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object' && !Array.isArray(value);
}
