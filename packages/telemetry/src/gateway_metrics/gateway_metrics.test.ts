/**
 * Tests that the metrics of a gateway are rendered with their names and labels.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {HistogramRegistry} from '../histogram_registry/histogram_registry.js';
import {createGatewayMetrics} from './gateway_metrics.js';

describe('createGatewayMetrics', () => {
  it('renders counters, gauges and latency quantiles', async () => {
    const histograms = new HistogramRegistry(8);
    const metrics = createGatewayMetrics(histograms, {
      openRequests: () => 3,
      configurationVersion: () => 7,
      storeAgeMilliseconds: () => 120,
      readyEndpoints: () => 11,
      heldBytes: () => 13,
    });
    metrics.countRequest('done', 200);
    metrics.countRequest('done', 200);
    metrics.countEvent('endpoint_leaving');
    metrics.countStoreCall('keyed.op', 'read_from');
    metrics.countUnallowedRequest('quilters');
    metrics.countColdRequest();
    histograms.record('first_token_milliseconds', 'quilters', 'r-1', 40);
    const text = await metrics.render();
    assert.match(
      text,
      /briarpin_requests_total\{outcome="done",status="200"\} 2/,
    );
    assert.match(text, /briarpin_events_total\{event="endpoint_leaving"\} 1/);
    assert.match(text, /briarpin_open_requests 3/);
    assert.match(text, /briarpin_held_bytes 13/);
    assert.match(
      text,
      /briarpin_requests_without_allowed_endpoint_total\{organisation="quilters"\} 1/,
    );
    assert.match(text, /briarpin_cold_requests_total 1/);
    assert.match(
      text,
      /briarpin_store_calls_total\{topic="keyed.op",call="read_from"\} 1/,
    );
    assert.match(text, /briarpin_store_age_milliseconds 120/);
    assert.match(
      text,
      /briarpin_latency_milliseconds\{measure="first_token_milliseconds",organisation="quilters",class="r-1",quantile="0.5"\} 40/,
    );
  });

  it('renders the waiting requests and shares by organisation', async () => {
    const metrics = createGatewayMetrics(new HistogramRegistry(8), {
      openRequests: () => 0,
      configurationVersion: () => 0,
      storeAgeMilliseconds: () => 0,
      readyEndpoints: () => 0,
      heldBytes: () => 0,
      queue: {
        readOrganisations: () => [
          {
            organisation: 'north',
            waiting: 2,
            receivedShare: 0.7,
            fairShare: 0.5,
          },
        ],
        isAlone: () => true,
      },
    });
    metrics.countQueueRejection('north', 'predicted_wait');
    const text = await metrics.render();
    assert.match(text, /briarpin_queue_waiting\{organisation="north"\} 2/);
    assert.match(
      text,
      /briarpin_organisation_share\{organisation="north",kind="received"\} 0.7/,
    );
    assert.match(
      text,
      /briarpin_queue_rejections_total\{organisation="north",reason="predicted_wait"\} 1/,
    );
    assert.match(text, /briarpin_queue_alone 1/);
  });

  it('renders the pace of endpoints until they leave', async () => {
    const pace = {
      endpoint: 'e-1',
      paceMilliseconds: 27.5,
      concurrencyLimit: 4,
      openRequests: 3,
    };
    const paces = [pace];
    const metrics = createGatewayMetrics(new HistogramRegistry(8), {
      openRequests: () => 0,
      configurationVersion: () => 0,
      storeAgeMilliseconds: () => 0,
      readyEndpoints: () => 0,
      heldBytes: () => 0,
      listPaces: () => paces,
    });
    const text = await metrics.render();
    for (const line of [
      'briarpin_endpoint_pace_milliseconds{endpoint="e-1"} 27.5',
      'briarpin_endpoint_concurrency_limit{endpoint="e-1"} 4',
      'briarpin_endpoint_open_requests{endpoint="e-1"} 3',
    ]) {
      assert.ok(text.includes(line), line);
    }
    paces.pop();
    assert.doesNotMatch(await metrics.render(), /e-1/);
  });
});
