import {ErrorKind, Failure} from '@parsleywood/errors';
import {readRequestMetadata} from '../callers/read_request_metadata.js';
import type {HeaderNames} from '../header_names.js';
import type {ExplainQuery} from './explain_query.js';

const PARAMETERS: readonly string[] = [
  'name',
  'path',
  'key',
  'service',
  'promptTokens',
  'maxAnswerTokens',
  'answerTokens',
  'parts',
  'timeLimitMs',
];

/**
 * Parses the query of an explanation. Its values are decoded as the headers of a
 * request are, so that both are placed alike.
 *
 * @throws Failure that names the parameter, if one is unknown or invalid.
 */
export function readExplainQuery(
  query: Readonly<Record<string, unknown>>,
  names: HeaderNames,
): ExplainQuery {
  for (const name of Object.keys(query)) {
    if (!PARAMETERS.includes(name)) {
      throw refuse(`no parameter "${name}", allowed: ${PARAMETERS.join(', ')}`);
    }
  }
  const name = readText(query, 'name');
  const path = readText(query, 'path');
  if (!name) throw refuse('name is missing: the host name of the request');
  if (!path?.startsWith('/')) {
    throw refuse(
      `path is "${path ?? ''}", allowed is a path that begins with /`,
    );
  }
  const counts = ['promptTokens', 'maxAnswerTokens'].map(it =>
    readCount(query, it),
  );
  const headers = {
    host: name,
    [names.key]: readText(query, 'key'),
    [names.tokenCounts]: counts.join(','),
    [names.answerEstimate]: readCount(query, 'answerTokens'),
    [names.promptParts]: readText(query, 'parts'),
    [names.timeLimit]: readCount(query, 'timeLimitMs'),
  };
  return {
    metadata: readRequestMetadata({headers, method: 'POST'}, path, names),
    service: readText(query, 'service'),
  };
}

function readText(
  query: Readonly<Record<string, unknown>>,
  name: string,
): string | undefined {
  const value = query[name];
  if (value === undefined || typeof value === 'string') return value;
  throw refuse(`${name} is given more than once`);
}

function readCount(
  query: Readonly<Record<string, unknown>>,
  name: string,
): string | undefined {
  const text = readText(query, name);
  if (text === undefined || /^\d+$/.test(text)) return text;
  throw refuse(`${name} is "${text}", allowed is a whole number of 0 or more`);
}

function refuse(message: string): Failure {
  return new Failure(ErrorKind.INVALID_REQUEST, message);
}
