/** Simulated hosts, fault injection and baselines for tests and benchmarks. */
export {FaultInjector} from './fault_injector.js';
export {FixedWitnessOrders} from './fixed_witness_orders.js';
export {Simulation} from './simulation.js';
export {UncoordinatedOrders} from './uncoordinated_orders.js';
