/** Types shared by the packages that hold decision logic without I/O. */
export type {Decision} from './decision.js';
export type {Incarnation} from './incarnation.js';
