/** Types shared by the decision packages. */
export type {Decision} from './decision.js';
export type {Incarnation} from './incarnation.js';
