import {request} from 'undici';

/** Sets faults of a stand-in. */
export async function setFaults(url: string, faults: object): Promise<void> {
  const {statusCode, body} = await request(`${url}/faults`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(faults),
  });
  await body.dump();
  if (statusCode !== 200) throw new Error(`faults answered ${statusCode}`);
}
