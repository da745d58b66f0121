import {expect} from 'chai';
import {Orders} from './orders.js';
import {Simulation} from './simulation.js';

describe('Orders', () => {
  it('serves an order once, and a resend by its first answer', () => {
    const simulation = new Simulation({
      hosts: 3,
      seed: 1,
      makeHost: self => new Orders(self),
    });
    for (const host of ['h0', 'h1', 'h2', 'h0']) simulation.submit(0, host);
    simulation.advance(300);
    simulation.submit(0, 'h1');
    simulation.advance(10);
    expect(simulation.replies.map(({kind, ran}) => kind + ran)).to.eql(
      Array.from({length: 5}, () => 'yes'),
    );
    expect([...simulation.runs.values()]).to.eql([1]);
  });
});
