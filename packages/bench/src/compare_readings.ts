import type {ControlReading} from './control_reading.js';
import type {ControlSample} from './control_sample.js';

const MS_PER_S = 1_000;
const PERCENT = 100;
/** What one host sends, another one receives. */
const ENDS = 2;

/** Gives the cost of one host between two readings of its site. */
export function compareReadings(
  before: ControlReading,
  after: ControlReading,
  hosts: number,
): ControlSample {
  const seconds = (after.atMs - before.atMs) / MS_PER_S;
  const rate = (name: keyof ControlReading): number =>
    (after[name] - before[name]) / seconds / hosts;
  const peerWireBytesPerS = ENDS * rate('peerWireBytes');
  const platformBytesPerS = rate('platformBytes');
  const engineBytesPerS = rate('engineBytes');
  return {
    processorPercent: (PERCENT * rate('processorMs')) / MS_PER_S,
    peerMessagesPerS: rate('peerMessages'),
    peerMessageBytesPerS: rate('peerMessageBytes'),
    peerWireBytesPerS,
    platformCallsPerS: rate('platformCalls'),
    platformBytesPerS,
    loadPollsPerS: rate('loadPolls'),
    engineBytesPerS,
    bytesPerS: peerWireBytesPerS + platformBytesPerS + engineBytesPerS,
  };
}
