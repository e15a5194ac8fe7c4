/** Stand-in for a model engine with continuous batching and chunked prefill. */
package io.bilberrygrade.standins.engine;
