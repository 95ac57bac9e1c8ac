/**
 * Tests of route lookup: guards against requests that reach the route of a
 * shorter prefix, of a partial path segment or of another host.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {
  Route,
  RoutingConfiguration,
} from '../routing_configuration/routing_configuration.js';
import {findRoute} from './find_route.js';

function createRoute(hostname: string, pathPrefix: string): Route {
  return {
    name: `${hostname}${pathPrefix}`,
    hostname,
    pathPrefix,
    repeatability: 'idempotent',
    isStream: false,
    isResumable: false,
    isPublic: true,
    timeoutMilliseconds: 1_000,
    targetLatencyMilliseconds: 100,
    targetGapMilliseconds: 100,
    maximumAttempts: 1,
    priority: 0,
    services: [],
  };
}

const CONFIGURATION: RoutingConfiguration = {
  version: 1,
  routes: [
    createRoute('shop.example', '/'),
    createRoute('shop.example', '/stock/'),
    createRoute('shop.example', '/stock/indigo/'),
    createRoute('fair.example', '/pitches/'),
  ],
  services: new Map(),
  limits: {
    maximumHeaderBytes: 1,
    maximumBodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  },
};

function find(host: string, path: string): string | undefined {
  return findRoute(CONFIGURATION, host, path)?.name;
}

describe('findRoute', () => {
  describe('by path', () => {
    it('selects the route with the longest prefix', () => {
      assert.equal(
        find('shop.example', '/stock/indigo/3'),
        'shop.example/stock/indigo/',
      );
      assert.equal(find('shop.example', '/stock/plum'), 'shop.example/stock/');
    });

    it('matches a prefix only as whole path segments', () => {
      assert.equal(find('shop.example', '/stocks/plum'), 'shop.example/');
      assert.equal(find('fair.example', '/pitches'), undefined);
    });
  });

  describe('by host', () => {
    it('ignores port and letter case', () => {
      assert.equal(find('SHOP.example:8080', '/a'), 'shop.example/');
    });

    it('returns undefined for an unknown host', () => {
      assert.equal(find('other.example', '/stock/plum'), undefined);
    });
  });
});
