/** Virtual time for simulation tests and emulators. */
export {VirtualTime} from './virtual_time.js';
