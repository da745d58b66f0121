/** Waits for a length of time, in milliseconds. */
export async function pause(ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms));
}
