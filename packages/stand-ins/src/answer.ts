import {createHash} from 'node:crypto';

const WORDS = ['river', 'stone', 'cloud', 'paper', 'amber', 'maple', 'north'];
const MIX = 0x9e3779b1;
const SUFFIX_RADIX = 36;

/** The answer to one prompt: each token follows from prompt and position. */
export class Answer {
  private readonly seed: number;

  constructor(prompt: string) {
    this.seed = createHash('sha256').update(prompt).digest().readUInt32LE(0);
  }

  /** Text of the token at a position, from 0. */
  token(position: number): string {
    let mixed = (this.seed + Math.imul(position + 1, MIX)) >>> 0;
    mixed = Math.imul(mixed ^ (mixed >>> 15), MIX) >>> 0;
    mixed = (mixed ^ (mixed >>> 13)) >>> 0;
    const word = WORDS[mixed % WORDS.length] ?? '';
    const space = position === 0 ? '' : ' ';
    return `${space}${word}-${mixed.toString(SUFFIX_RADIX)}`;
  }

  /** Text of the first tokens. */
  text(tokens: number): string {
    return Array.from({length: tokens}, (_, i) => this.token(i)).join('');
  }
}
