/** Simulated hosts, fault injection and baselines for tests and benchmarks. */
export {FaultSteps} from './fault_injector.js';
export {Simulation} from './simulation.js';
export {TicketOrders} from './uncoordinated_orders.js';
export {WitnessOrders} from './fixed_witness_orders.js';
