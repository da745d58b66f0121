import {expect} from 'chai';
import {
  ERROR_RESPONSES,
  ErrorKind,
  ExecutionStatus,
  Failure,
  formatFailure,
} from './index.js';

describe('ERROR_RESPONSES', () => {
  it('maps each error kind to a 4xx or 5xx status', () => {
    const statuses = Object.values(ErrorKind).map(
      kind => ERROR_RESPONSES[kind].status,
    );
    expect(statuses.filter(status => status < 400 || status > 599)).to.eql([]);
  });

  it('formats a failure as the JSON error body', () => {
    const failure = new Failure(
      ErrorKind.OVERLOADED,
      'no engine of model "m" has room within 1300 ms',
      ExecutionStatus.NO,
      250,
    );
    expect(formatFailure(failure, 'r-1')).to.eql({
      error: {
        kind: 'overloaded',
        message: 'no engine of model "m" has room within 1300 ms',
        ran: 'no',
        retryAfterMs: 250,
        requestId: 'r-1',
        type: 'server_error',
        code: 'overloaded',
        param: null,
      },
    });
  });
});
