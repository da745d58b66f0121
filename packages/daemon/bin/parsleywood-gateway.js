#!/usr/bin/env node
// Stands in the repository so that npm can link it before the first build.
import '../dist/gateway_main.js';
