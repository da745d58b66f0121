/** Exit codes of the command-line tool, for use in scripts. */
export enum ExitCode {
  OK = 0,
  /** A host answered with an error or with a body that is not JSON. */
  FAILED = 1,
  /** The command line or a settings file is invalid. */
  USAGE_ERROR = 2,
  /** The requested host cannot be reached or does not answer in time. */
  UNREACHABLE = 3,
}
