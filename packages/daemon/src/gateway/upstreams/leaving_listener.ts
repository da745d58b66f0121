import type {UpstreamEntry} from '@parsleywood/forwarding';

/** Called when an upstream's answer says that it leaves. */
export type LeavingListener = (upstream: UpstreamEntry) => void;
