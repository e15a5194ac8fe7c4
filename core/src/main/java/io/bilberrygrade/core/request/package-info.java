/** Inference requests and their possible outcomes. */
package io.bilberrygrade.core.request;
