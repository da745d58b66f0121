/** Virtual time, for proofs and emulations. */
export {VirtualTime} from './virtual_time.js';
