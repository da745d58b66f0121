/** Name of the gRPC metadata entry that carries the key shared by the hosts. */
export const PEER_KEY_METADATA = 'parsleywood-peer-key';
