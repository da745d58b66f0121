import {readdirSync} from 'node:fs';
import {join} from 'node:path';
import {expect} from 'chai';
import {comparePolicies} from './compare_policies.js';
import type {Emulation} from './emulation.js';
import {PolicyName} from './policy_name.js';
import {readPattern} from './read_pattern.js';
import {writeReport} from './write_report.js';

const PATTERNS = join(import.meta.dirname, '../patterns');
const SEEDS = [1, 2, 3];

function play(name: string, policy: PolicyName): Emulation[] {
  const pattern = readPattern(join(PATTERNS, `${name}.json`));
  return SEEDS.flatMap(seed => comparePolicies(pattern, [policy], seed));
}

function mean(emulations: readonly Emulation[]): number {
  const sum = emulations.reduce((total, {worth}) => total + worth, 0);
  return sum / emulations.length;
}

describe('comparePolicies', () => {
  it('gives the same for the same seed, and accounts for every request', () => {
    const pattern = readPattern(join(PATTERNS, 'swinging-mix.json'));
    const [first] = comparePolicies(pattern, [PolicyName.PLANNED], 7);
    const [second] = comparePolicies(pattern, [PolicyName.PLANNED], 7);
    expect(first).to.deep.equal(second);
    for (const {asked, inTime, late, refused, failed} of first?.kinds ?? []) {
      expect(inTime + late + refused + failed).to.equal(asked);
    }
  });

  for (const file of readdirSync(PATTERNS)) {
    const name = file.replace('.json', '');
    it(`lets the policy in force earn more than the baselines: ${name}`, () => {
      const planned = mean(play(name, PolicyName.PLANNED));
      for (const baseline of [PolicyName.LEAST_BEHIND, PolicyName.FEWEST]) {
        expect(planned).to.be.greaterThan(mean(play(name, baseline)));
      }
    });
  }

  // Hosts whose news take 60 ms met at the same engines: worth 0.745 over ten seeds.
  it('keeps a large fleet from meeting at the same engines', () => {
    const emulations = play('large-fleet', PolicyName.PLANNED);
    const shorts = emulations.flatMap(({kinds}) => kinds.slice(0, 1));
    const asked = shorts.reduce((sum, one) => sum + one.asked, 0);
    const inTime = shorts.reduce((sum, one) => sum + one.inTime, 0);
    expect(inTime / asked).to.be.at.least(0.8);
  });

  // A cost of place of 80 for each part of a prompt had 8 of 416 long prompts refused.
  it('refuses no prompt on a calm day', () => {
    for (const {kinds} of play('recorded-quiet', PolicyName.PLANNED)) {
      for (const {refused} of kinds) expect(refused).to.equal(0);
    }
  });

  it('writes a page that holds the library and the figures', () => {
    const pattern = readPattern(join(PATTERNS, 'swinging-mix.json'));
    const page = writeReport(
      comparePolicies(pattern, Object.values(PolicyName), 1),
    );
    expect(page).to.contain('new Chart(');
    expect(page).to.contain('least-behind: 0.');
    expect(page).to.not.match(/<script[^>]+src=/);
  });
});
