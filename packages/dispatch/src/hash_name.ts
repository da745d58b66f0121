const OFFSET = 0x81_1c_9d_c5;
const PRIME = 0x01_00_01_93;

/** Hashes a name to 32 bits (FNV-1a); the result is the same on every host. */
export function hashName(name: string): number {
  let hash = OFFSET;
  for (let at = 0; at < name.length; at++) {
    hash = Math.imul(hash ^ name.charCodeAt(at), PRIME);
  }
  return mixHash(hash);
}

/** Spreads the bits of a hash (the finalizer of MurmurHash3). */
function mixHash(hash: number): number {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_eb_ca_6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2_b2_ae_35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
