/** Exit codes of the tool. */
export enum ExitCode {
  OK = 0,
  /** A host answered with an error. */
  FAILED = 1,
  /** The command line or a settings file is wrong. */
  WRONG_USE = 2,
  /** The host asked cannot be reached. */
  UNREACHABLE = 3,
}
