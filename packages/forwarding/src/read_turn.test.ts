import {expect} from 'chai';
import {ReadTurn} from './read_turn.js';

describe('ReadTurn', () => {
  it('is over after some pieces, however short', () => {
    const turn = new ReadTurn(8_192);
    for (let at = 1; at < 256; at++) turn.recordPieces(1);
    expect(turn.isOver).to.equal(false);
    turn.recordPieces(1);
    expect(turn.isOver).to.equal(true);
  });

  it('is over after some bytes without a piece', () => {
    const turn = new ReadTurn(8_192);
    turn.recordBytes(8_191);
    expect(turn.isOver).to.equal(false);
    turn.recordBytes(1);
    expect(turn.isOver).to.equal(true);
  });

  it('starts anew with its cost in pieces told', () => {
    const turn = new ReadTurn(8_192);
    turn.recordPieces(300);
    turn.recordBytes(2_048);
    expect(turn.end()).to.equal(302);
    expect(turn.isOver).to.equal(false);
    expect(turn.end()).to.equal(0);
  });
});
