/** Simulated hosts, fault injection and baselines for tests and benchmarks. */
export {FaultSteps} from './fault_steps.js';
export {Simulation} from './simulation.js';
export {TicketOrders} from './ticket_orders.js';
export {WitnessOrders} from './witness_orders.js';
