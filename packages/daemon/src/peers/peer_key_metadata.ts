/** Name of the metadata that carries the key shared by the hosts. */
export const PEER_KEY_METADATA = 'parsleywood-peer-key';
