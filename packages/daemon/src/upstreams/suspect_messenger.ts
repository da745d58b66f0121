import type {
  SuspectRecords,
  SuspectSummary,
} from '@parsleywood/schema/suspects';

/** Sends what hosts need to compare their suspects. */
export interface SuspectMessenger {
  sendSummary(host: string, summary: SuspectSummary): void;
  sendRecords(host: string, records: SuspectRecords): void;
}
