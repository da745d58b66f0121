import {expect} from 'chai';
import type {Route} from './route.js';
import {RouteTable} from './route_table.js';
import {createRoute} from './testing/create_route.js';

function makeRoute(host: string, prefix: string): Route {
  return createRoute({name: `${host}${prefix}`, host, prefix});
}

describe('RouteTable', () => {
  const table = new RouteTable([
    makeRoute('a.example', '/'),
    makeRoute('a.example', '/x/'),
    makeRoute('a.example', '/x/y/'),
    makeRoute('b.example', '/x/'),
  ]);

  const find = (host: string, target: string): string | undefined =>
    table.find(host, target)?.name;

  it('matches the longest path prefix of the host', () => {
    expect(find('a.example', '/x/y/z')).to.equal('a.example/x/y/');
    expect(find('a.example', '/x/yy')).to.equal('a.example/x/');
    expect(find('a.example', '/x')).to.equal('a.example/');
    expect(find('b.example', '/x/')).to.equal('b.example/x/');
  });

  it('finds nothing for an unknown host or path', () => {
    expect(find('c.example', '/x/')).to.equal(undefined);
    expect(find('b.example', '/y/')).to.equal(undefined);
    expect(find('b.example', '')).to.equal(undefined);
  });

  it('ignores the case and port of the host and slashes in the query', () => {
    expect(find('B.Example:8080', '/x/1?q=/y/')).to.equal('b.example/x/');
    expect(find('b.example', '/x?q=/x/')).to.equal(undefined);
  });
});
