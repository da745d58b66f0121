import type {
  PartAnswerMessage,
  PartCrashMessage,
  SuspectMessage,
} from '@parsleywood/schema/suspects';

/** Sends what this host learns of crashing requests to every peer. */
export interface SuspectPublisher {
  publishSuspect(update: SuspectMessage): void;
  publishPartCrash(crash: PartCrashMessage): void;
  publishPartAnswer(answer: PartAnswerMessage): void;
}
