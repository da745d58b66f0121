/** Policies that can be compared. */
export enum PolicyName {
  /** The one in force: several engines read a prompt where all requests gain. */
  PLANNED = 'planned',
  /** The same, with slow start of engines that have just started or recovered. */
  PACED = 'paced',
  /** Baseline: the engine that is least behind reads the whole prompt. */
  LEAST_BEHIND = 'least-behind',
  /** Baseline: the engine with the fewest requests. */
  FEWEST = 'fewest',
}
