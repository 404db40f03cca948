import {setDefaultTimeout} from '@cucumber/cucumber';

const stepTimeoutMs = 60_000;

setDefaultTimeout(stepTimeoutMs);
