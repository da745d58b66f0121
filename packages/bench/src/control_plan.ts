/** Size of a site whose cost of control is measured. */
export interface ControlPlan {
  readonly hosts: number;
  readonly engines: number;
  readonly accounts: number;
}
