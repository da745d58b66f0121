import {request} from 'undici';
import {describeNewestRoute} from './describe_newest_route.js';

const OK_STATUS = 200;

/** Finds gateways at which the last published version is not in force. */
export async function checkNewest(
  addresses: readonly string[],
  version: number,
): Promise<string[]> {
  const {path} = describeNewestRoute(version);
  const found = addresses.map(async (address, at) => {
    const answer = await request(`http://${address}${path}`, {
      headers: {host: 'soak.example', 'request-id': `newest-${at}`},
    });
    await answer.body.dump();
    const status = answer.statusCode;
    return status === OK_STATUS ? [] : [`g${at} answered ${status} at ${path}`];
  });
  return (await Promise.all(found)).flat();
}
