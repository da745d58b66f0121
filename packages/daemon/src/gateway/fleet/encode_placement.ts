import type {Placement} from '@parsleywood/dispatch';
import type {PlacementStart} from '@parsleywood/schema/fleet';

/** Largest number of tokens that a message can carry. */
const MAX_TOKENS = 4_294_967_295;

/** Encodes a placement for other hosts. */
export function encodePlacement(placement: Placement): PlacementStart {
  const answerTokens = Math.min(
    MAX_TOKENS,
    Math.max(0, Math.round(placement.answerTokens)),
  );
  return {
    ...placement,
    answerTokens,
    parts: placement.parts.map(part => ({...part})),
    suspect: placement.suspect ?? '',
  };
}
