/** Virtual hosts, faults and baselines that the proofs and benches drive. */
export {FaultSteps} from './fault_steps.js';
export {Simulation} from './simulation.js';
export {TicketOrders} from './ticket_orders.js';
export {WitnessOrders} from './witness_orders.js';
