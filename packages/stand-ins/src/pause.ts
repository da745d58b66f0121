/** Waits for a time, in milliseconds. */
export async function pause(delayMs: number): Promise<void> {
  if (delayMs <= 0) return;
  await new Promise(resolve => {
    setTimeout(resolve, delayMs);
  });
}
