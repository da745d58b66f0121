import type {Route} from '@parsleywood/forwarding';

/**
 * Selects the service of a request at random, by the weights of its route.
 *
 * @param draw Uniform random number in [0, 1).
 */
export function drawService(route: Route, draw: number): string {
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let left = draw * total;
  for (const {service, weight} of route.targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.targets[0]?.service ?? '';
}
