import type {EventFields} from './event_fields.js';

/** A blank line alone. */
const MAX_BLANK_BYTES = 2;
const BLANK: EventFields = {id: undefined, hasData: false, isForeign: false};
const FOREIGN_LINE = /^(?!(?:data|event|id|retry)$)[^:\r\n]+$/m;
const DATA_LINE = /^data(?::|$)/m;
const ID_LINE = /^id(?:: ?(.*))?$/gm;
const NUL = '\0';

/**
 * Reads an event as the HTML standard parses event streams: the last `id` field counts,
 * and one with a NUL is ignored.
 *
 * @param event With the blank line that ends it.
 */
export function readEventFields(event: Buffer): EventFields {
  if (event.length <= MAX_BLANK_BYTES) return BLANK;
  const text = event.toString('latin1');
  let id: string | undefined;
  for (const [, value = ''] of text.matchAll(ID_LINE)) {
    if (!value.includes(NUL)) id = value;
  }
  return {
    id,
    hasData: DATA_LINE.test(text),
    isForeign: FOREIGN_LINE.test(text),
  };
}
