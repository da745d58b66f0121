import {BYTES_PER_TOKEN} from '@parsleywood/stand-ins';

const FILLER = 'valve 3 runs at 71 percent with no fault on record; ';

/** Makes a question of about so many tokens that holds a text of its own. */
export function makeQuestion(own: string, tokens: number): string {
  const bytes = Math.max(0, tokens * BYTES_PER_TOKEN - own.length);
  const filler = FILLER.repeat(Math.ceil(bytes / FILLER.length));
  return `${own}${filler.slice(0, bytes)}`;
}
