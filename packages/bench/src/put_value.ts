import {request} from 'undici';

/** Publishes a value on the platform and returns its revision. */
export async function putValue(
  platform: string,
  key: string,
  value: unknown,
): Promise<number> {
  const {statusCode, body} = await request(`${platform}/values/${key}`, {
    method: 'PUT',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(value),
  });
  const answer = (await body.json()) as {revision: number};
  if (statusCode !== 200) throw new Error(`PUT ${key} answered ${statusCode}`);
  return answer.revision;
}
