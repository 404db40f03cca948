import type {
  CallRecord,
  MovesResponse,
  StatusResponse,
  VersionMeta,
} from '@verbenabeam/admin-api';
import type {FakeAnswer} from './fake-admin-server.js';

const at = Date.UTC(2026, 11, 4, 10);

const status: StatusResponse = {
  nodeId: 'n1',
  environment: 'production',
  configVersion: 8,
  configHash: 'h8',
  storeReachable: false,
  alarms: [
    {code: 1205, name: 'versions.storeOlder', message: 'head 7 is below 8'},
  ],
  nodes: [
    {
      nodeId: 'n1',
      address: '10.0.0.1:7400',
      dataCentre: 'brno',
      state: 'alive',
      relay: true,
      service: 'redelivery',
      upstreamVersion: 'v1',
      upstreamState: 'ready',
      configVersion: 8,
      lagReason: null,
    },
    {
      nodeId: 'n2',
      address: '10.0.0.2:7400',
      dataCentre: 'ostrava',
      state: 'suspect',
      relay: false,
      service: null,
      upstreamVersion: null,
      upstreamState: null,
      configVersion: 7,
      lagReason: 'unreachable',
    },
  ],
};

const moves: MovesResponse = {
  environment: 'production',
  moves: [
    {
      moveId: 'redelivery-v2',
      service: 'redelivery',
      from: 'v1',
      to: 'v2',
      state: 'takenBack',
      step: 3,
      share: 0.04,
      reason: 'failures on redelivery-file',
      deadlineAt: at,
      stoppedHere: true,
      evidence: [
        {
          route: 'redelivery-file',
          oldCalls: 9_600,
          oldFailures: 2,
          newCalls: 400,
          newFailures: 31,
        },
      ],
    },
  ],
};

const call: CallRecord = {
  callId: 'c1',
  entryNodeId: 'n1',
  startedAt: at,
  durationMs: 12.5,
  method: 'GET',
  path: '/redelivery/files/7',
  callerClass: 'lessor',
  route: 'redelivery-file',
  service: 'redelivery',
  configVersion: 8,
  upstreamVersion: 'v1',
  attempts: [
    {nodeId: 'n2', upstreamVersion: 'v1', code: 1605, durationMs: 1.25},
    {nodeId: 'n3', upstreamVersion: 'v1', code: 1600, durationMs: 10},
  ],
  code: 1600,
  status: 200,
};

const winner: VersionMeta = {
  version: 9,
  hash: 'h9',
  operationId: 'op9',
  author: 'bia',
  acceptedAt: at,
  promotedFrom: null,
};

const raceLost = {
  code: 1202,
  name: 'versions.raceLost',
  message: 'Another change was accepted first.',
  notRun: true,
  details: {winner, changes: ['route r: timeout 1000ms -> 2000ms']},
};

/** Answers of a fake node, by request. @internal */
export const adminAnswers: Readonly<Record<string, FakeAnswer>> = {
  'GET /v1/status': {status: 200, body: status},
  'POST /v1/moves/redelivery-v2/take-back': {
    status: 200,
    body: moves.moves[0],
  },
  'GET /v1/moves': {status: 200, body: moves},
  'GET /v1/calls/c1': {status: 200, body: call},
  'POST /v1/environments/production/promote': {status: 409, body: raceLost},
  'POST /v1/store/confirm-restore': {status: 200, body: {confirmed: true}},
  'POST /v1/environments/production/reassert': {status: 200, body: winner},
};
