import {ErrorKind, Failure} from '@parsleywood/errors';
import {CHAT_REQUEST_SCHEMA} from '@parsleywood/schema/chat_request';
import {COMPLETION_REQUEST_SCHEMA} from '@parsleywood/schema/completion_request';
import {Ajv, type ValidateFunction} from 'ajv';
import {Result} from 'true-myth';

/** Parses request bodies and validates them against a JSON schema. */
export class BodyValidator<Body> {
  private readonly validate: ValidateFunction<Body>;

  private constructor(schema: object) {
    this.validate = new Ajv({strict: false}).compile<Body>(schema);
  }

  static forChat<Body>(): BodyValidator<Body> {
    return new BodyValidator(CHAT_REQUEST_SCHEMA);
  }

  static forCompletion<Body>(): BodyValidator<Body> {
    return new BodyValidator(COMPLETION_REQUEST_SCHEMA);
  }

  /**
   * Parses a body. The message of a failure names the invalid field but never
   * quotes the body, which holds the caller's text.
   */
  parse(body: Buffer): Result<Body, Failure> {
    let value: unknown;
    try {
      value = JSON.parse(body.toString('utf8'));
    } catch {
      return this.reject('the body is not valid JSON');
    }
    if (this.validate(value)) return Result.ok(value);
    const error = this.validate.errors?.[0];
    const path = error?.instancePath === '' ? 'the body' : error?.instancePath;
    return this.reject(
      `${path ?? 'the body'} ${error?.message ?? 'is invalid'}`,
    );
  }

  private reject(message: string): Result<never, Failure> {
    return Result.err(new Failure(ErrorKind.INVALID_REQUEST, message));
  }
}
