import type {RouteMatch} from '@parsleywood/forwarding';
import {buildAttemptHeaders} from './build_attempt_headers.js';
import type {HeaderNames} from '../header_names.js';
import type {PlacedAttempt} from './placed_attempt.js';
import type {PromptReservations} from './prompt_reservations.js';
import type {ReceivedRequest} from '../callers/received_request.js';
import type {UpstreamRequest} from '../upstreams/upstream_request.js';

const MAX_RANK = 9;

/**
 * Builds what an attempt sends to its upstream.
 *
 * @param lastEventId Event to resume after; undefined to start where the caller asked for.
 */
export function buildUpstreamRequest(
  {metadata, headers, body}: ReceivedRequest,
  {route, account}: RouteMatch,
  {choice, placement}: PlacedAttempt,
  reservations: PromptReservations | undefined,
  leftMs: number,
  lastEventId: string | undefined,
  names: HeaderNames,
): UpstreamRequest {
  const {id, method, target} = metadata;
  const {upstream, helpers, plan} = choice;
  const rank = account?.priority ?? route.priority;
  const values = {
    upstreamId: upstream.id,
    account: account?.name,
    leftMs,
    lastEventId,
    rank: plan && Math.min(MAX_RANK, rank),
    helpers: helpers.map(
      helper => reservations?.formatHelper(helper) ?? helper.address,
    ),
  };
  const attemptHeaders = buildAttemptHeaders(
    headers,
    body.length,
    values,
    names,
  );
  return {
    id,
    upstream,
    method,
    target,
    headers: attemptHeaders,
    body,
    // A crash counts against a suspect only if the upstream was up before it.
    needsNewConnection: Boolean(placement.suspect),
  };
}
