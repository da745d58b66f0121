import type {
  TraitAnswerMessage,
  TraitCrashMessage,
  SuspectMessage,
} from '@parsleywood/schema/suspects';

/** Sends what this host learns of crashing requests to every peer. */
export interface SuspectPublisher {
  publishSuspect(update: SuspectMessage): void;
  publishTraitCrash(crash: TraitCrashMessage): void;
  publishTraitAnswer(answer: TraitAnswerMessage): void;
}
