/** The chain of filters through which each request passes. */
package io.bilberrygrade.serving.filter;
